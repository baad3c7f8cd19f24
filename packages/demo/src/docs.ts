import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { renderConfiguration, renderEvents } from './reference';

const DOCS = path.join(__dirname, '..', '..', '..', 'docs');

writeFileSync(path.join(DOCS, 'EVENTS.md'), renderEvents());
writeFileSync(path.join(DOCS, 'CONFIGURATION.md'), renderConfiguration());
