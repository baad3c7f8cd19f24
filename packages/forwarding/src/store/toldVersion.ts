import type { RowChange, RowView, StoreVersion } from '@pomeloroad/storage';

/** How far the feed has told the rows of a partition. */
export interface ToldVersion {
  noteView(view: RowView): void;
  noteChanges(changes: RowChange[]): void;
  /** Whether the rows as told are at least as new as the version; an answer of the store may come later. */
  includes(version: StoreVersion): boolean;
}

/** Creates the version of a feed that has told nothing. */
export function createToldVersion(): ToldVersion {
  let told: StoreVersion = { era: 0, revision: 0 };

  function raise(versions: number[]): void {
    told = { ...told, revision: Math.max(told.revision, ...versions) };
  }

  return {
    noteView({ rows, version, era }) {
      told = { era, revision: version };
      raise(rows.map((row) => row.version));
    },
    noteChanges: (changes) => raise(changes.map((change) => change.version)),
    includes({ era, revision }) {
      return told.era > era || (told.era === era && told.revision >= revision);
    },
  };
}
