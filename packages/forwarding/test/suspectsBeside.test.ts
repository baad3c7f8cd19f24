import { playBeside } from './suspectsModel';
import type { Schedule } from './suspectsModel';

const LATE_REQUESTS_MAX = 3;
/** Least share of sound requests that begin. */
const SHARE_MIN = 0.5;
/** Number of sound requests from which on their share is checked. */
const SOUND_MIN = 20;
const PLAY_MS = 35_000;
const ENDPOINTS = 10;

type Row = [
  Schedule['kind'],
  Schedule['harm'],
  Schedule['instances'],
  Schedule['soundPerSecond'],
  Schedule['badPerSecond'],
  Schedule['variants'],
  Schedule['calm'],
  Schedule['answer'],
  Schedule['seed'],
];

const ROWS: Row[] = [
  ['part', 'none', 8, 1, 4, 1, 0, 300, 1],
  ['part', 'none', 8, 4, 8, 1, 0, 6000, 26],
  ['part', 'none', 8, 4, 8, 4, 0, 300, 29],
  ['part', 'none', 8, 20, 8, 40, 3000, 1500, 71],
  ['part', 'restarts', 8, 4, 4, 1, 0, 6000, 97],
  ['part', 'all-restart', 8, 1, 8, 1, 3000, 6000, 80],
  ['part', 'all-restart', 8, 4, 8, 4, 3000, 6000, 188],
  ['part', 'all-restart', 30, 1, 1, 1, 0, 1500, 3018],
  ['part', 'cuts', 8, 4, 4, 4, 0, 1500, 5001],
  ['part', 'kills', 8, 1, 8, 1, 0, 300, 146],
  ['part', 'all-killed', 8, 4, 8, 1, 0, 1500, 194],
  ['part', 'all-killed', 8, 20, 8, 1, 0, 1500, 410],
  ['part', 'all-killed', 8, 20, 8, 40, 0, 300, 209],
  ['part', 'all-killed', 30, 1, 1, 1, 0, 1500, 3036],
  ['part', 'roll-out', 8, 1, 4, 1, 0, 300, 217],
  ['part', 'roll-out', 8, 4, 4, 4, 0, 1500, 463],
  ['part', 'roll-out', 8, 1, 8, 1, 0, 1500, 9015],
  ['part', 'roll-out', 8, 4, 8, 4, 0, 1500, 30780],
  ['part', 'roll-out', 8, 4, 8, 4, 0, 1500, 70888],
  ['part', 'roll-out', 30, 1, 1, 1, 0, 1500, 71365],
  ['part', 'rewind', 8, 4, 8, 1, 0, 6000, 530],
  ['part', 'leaving-callers', 8, 20, 8, 1, 0, 1500, 626],
  ['request', 'none', 8, 4, 4, 1, 0, 1500, 5002],
  ['request', 'roll-out', 30, 1, 1, 1, 3000, 6000, 3129],
  ['request', 'all-killed', 8, 20, 8, 4, 0, 300, 5003],
];

test.each(ROWS)(
  'sound requests beside a crashing %s begin: %s, %i instances, %i and %i a second, %i variants, calm %i ms, answers %i ms (seed %i)',
  async (kind, harm, instances, soundPerSecond, badPerSecond, variants, calm, answer, seed) => {
    const { late, sound, begun } = await playBeside({
      ...{ kind, harm, instances, soundPerSecond, badPerSecond, variants, calm, answer, seed },
      endpoints: ENDPOINTS,
      play: PLAY_MS,
    });
    expect(late).toBeLessThanOrEqual(LATE_REQUESTS_MAX);
    expect(sound).toBeGreaterThanOrEqual(SOUND_MIN);
    expect(begun / sound).toBeGreaterThanOrEqual(SHARE_MIN);
  },
  30_000,
);
