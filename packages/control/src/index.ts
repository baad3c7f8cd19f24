export * from './budgetCommands';
export * from './client';
export * from './fileCommands';
export * from './instanceCommands';
export * from './keyCommands';
export * from './output';
