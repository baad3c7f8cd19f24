import { Err, Ok } from 'ts-results';
import { isNode, LineCounter, parseDocument } from 'yaml';
import type { Document } from 'yaml';
import type { z } from 'zod';
import type { Outcome } from '@pomeloroad/core';
import { checkReferences } from './references';
import { ConfigurationSchema } from './schema';
import type { Configuration, ConfigurationFault } from './types';

type Path = readonly PropertyKey[];

/** Parses and checks a configuration file. Returns all faults found, with their positions. */
export function parseConfiguration(text: string): Outcome<Configuration, ConfigurationFault[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  if (document.errors.length > 0) {
    return Err(
      document.errors.map((error) => createFaultAt(lines, error.pos[0], '', error.message)),
    );
  }
  const createFault = (path: Path, message: string) =>
    createFaultAt(lines, findOffset(document, path), formatPath(path), message);
  const parsed = ConfigurationSchema.safeParse(document.toJS() ?? {});
  if (!parsed.success)
    return Err(parsed.error.issues.flatMap((issue) => toFaults(issue, createFault)));
  const faults = checkReferences(parsed.data).map(({ path, message }) =>
    createFault(path, message),
  );
  return faults.length > 0 ? Err(faults) : Ok(parsed.data);
}

type CreateFault = (path: Path, message: string) => ConfigurationFault;

function toFaults(issue: z.core.$ZodIssue, createFault: CreateFault): ConfigurationFault[] {
  if (issue.code !== 'unrecognized_keys') return [createFault(issue.path, issue.message)];
  return issue.keys.map((key) => createFault([...issue.path, key], `unknown setting "${key}"`));
}

function createFaultAt(
  lines: LineCounter,
  offset: number,
  path: string,
  message: string,
): ConfigurationFault {
  const { line, col: column } = lines.linePos(offset);
  return { line, column, path, message };
}

// Returns the offset of the value at the path, or of the nearest enclosing one if it is missing.
function findOffset(document: Document, path: Path): number {
  for (let depth = path.length; depth > 0; depth -= 1) {
    const node = document.getIn(path.slice(0, depth).map(toKey), true);
    const range = isNode(node) ? node.range : undefined;
    if (range) {
      const [start] = range;
      return start;
    }
  }
  return 0;
}

function toKey(key: PropertyKey): PropertyKey {
  return typeof key === 'string' && /^\d+$/.test(key) ? Number(key) : key;
}

function formatPath(path: Path): string {
  return path.reduce<string>((text, key) => {
    if (/^\d+$/.test(String(key))) return `${text}[${String(key)}]`;
    return text === '' ? String(key) : `${text}.${String(key)}`;
  }, '');
}
