export {renderSettingsPage} from './docs.js';
export {
  checkDataFolder,
  formatSettingsError,
  loadSettings,
  parseSettings,
  type SettingsError,
  type SettingsProblem,
} from './load.js';
export {settingsSchema, type Settings, type VoterAddress} from './schema.js';
