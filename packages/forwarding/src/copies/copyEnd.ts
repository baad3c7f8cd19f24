import type { SourceEnd } from '../ends/streamEnd';

/**
 * Returns the end of a stream whose last end was doubted, after what the holder of the run's copy sent. A holder that
 * sent nothing, and has broken off or may have ended for a reason of its own, tells nothing.
 */
export function combineCopyEnds(last: SourceEnd, next: SourceEnd): SourceEnd {
  if (!next.isEmpty) return next;
  return next.ownEnd === 'complete' ? { ...next, end: 'complete' } : last;
}
