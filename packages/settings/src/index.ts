export {
	type ProductSettings, defaultSettings, productSettingsSchema, readProductSettings,
} from './product-settings.js';
