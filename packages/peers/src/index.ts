export * from './types';
export * from './network';
export { ProtocolVersions } from './frames';
export * from './memoryNetwork';
export * from './tunnelTypes';
export * from './tunnelListener';
export * from './tunnelDialer';
