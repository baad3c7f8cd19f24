export * from './types';
export * from './choose';
export * from './endpoints';
export * from './admission';
