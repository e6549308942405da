/** Generates docs/SETTINGS.md from the settings schema and docs/RULES.md from the grammar. */
import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {renderRulesPage, renderSettingsPage} from '@samphirefield/core';

const docs = join(dirname(dirname(fileURLToPath(import.meta.url))), 'docs');
writeFileSync(join(docs, 'SETTINGS.md'), renderSettingsPage());
writeFileSync(join(docs, 'RULES.md'), renderRulesPage());
