export * from './types';
export * from './breaker';
export * from './memoryObjects';
export * from './memoryTable';
export * from './httpPlatform';
export * from './batchTable';
export * from './lease';
