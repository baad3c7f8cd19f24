export * from './generate';
export * from './modelEngine';
export * from './plainService';
export * from './platformServers';
export * from './platformWire';
export * from './storeService';
