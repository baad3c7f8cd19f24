export * from './types';
export * from './answer';
export * from './answers';
export * from './registry';
export * from './claims';
export * from './issuedKeys';
export * from './refusals';
