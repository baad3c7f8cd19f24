export * from './types';
export * from './metrics';
