export * from './types';
export * from './answer';
export * from './answers';
export * from './entries';
export * from './registry';
export * from './claims';
export * from './issuedKeys';
export * from './refusals';
