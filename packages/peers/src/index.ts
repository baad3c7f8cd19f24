export * from './types';
export * from './network';
export { ProtocolVersions } from './frames';
export * from './memoryNetwork';
