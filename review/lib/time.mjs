/* eslint-disable import-x/prefer-default-export -- off in the house rules of TypeScript too */
import { setTimeout } from 'node:timers';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });
