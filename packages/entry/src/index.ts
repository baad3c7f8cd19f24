export * from './instance';
export * from './settings';
