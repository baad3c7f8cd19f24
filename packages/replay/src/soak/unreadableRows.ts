import { DATA_CENTRES, SERVICES } from './fleet';

/** A row beside those of the endpoints. */
export interface ForeignRow {
  key: string;
  text: string;
}

/** Deeper than a value can be written again. */
const NESTING = 20_000;

const TEXTS = ['', '[1', '{"service":7}', ...SERVICES.flatMap(createTexts)];
const SOUND_TEXT = createText(SERVICES[1] ?? '', { address: '127.0.0.1:1' });

/** Rows that name no endpoint, though some of them look like one. */
export const UNREADABLE_ROWS: ForeignRow[] = [
  ...TEXTS.map((text, index) => ({ key: `unreadable-${index}`, text })),
  { key: 'unreadable\nkey', text: SOUND_TEXT },
];

function createTexts(service: string): string[] {
  const deep = '['.repeat(NESTING) + ']'.repeat(NESTING);
  return [
    ...['nowhere', '127.0.0.1:99999', `127.0.0.1:${'9'.repeat(400)}`, '999.0.0.1:80'].map(
      (address) => createText(service, { address }),
    ),
    createText(service, { slots: 'many' }),
    createText(service, {}).replace('{', `{"version":${deep},`),
  ];
}

function createText(service: string, more: object): string {
  const place = { address: '127.0.0.1:1', zone: DATA_CENTRES[0], slots: 64 };
  return JSON.stringify({ service, ...place, state: 'ready', seq: 1, born: 1, ...more });
}
