export * from './reference';
