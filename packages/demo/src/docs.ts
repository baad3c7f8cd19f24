import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { renderConfiguration, renderEvents } from './reference';

// Writes the generated pages of docs/.
const DOCS_PATH = path.join(__dirname, '..', '..', '..', 'docs');

writeFileSync(path.join(DOCS_PATH, 'EVENTS.md'), renderEvents());
writeFileSync(path.join(DOCS_PATH, 'CONFIGURATION.md'), renderConfiguration());
