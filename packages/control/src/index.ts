export * from './client';
export * from './commands';
export * from './output';
