export * from './types';
export * from './answer';
export * from './answerStore';
export * from './requestEntries';
export * from './requestRegistry';
export * from './claims';
export * from './issuedKeys';
export * from './refusals';
