import {build} from 'esbuild';

const programs = {
	'lacewingpoint-host': 'platform/src/main.ts',
	lacewingpointctl: 'packages/command-line/src/main.ts',
};

await build({
	entryPoints: programs,
	// The deploy file names another folder.
	outdir: process.argv[2] ?? 'dist',
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	format: 'esm',
	// The UMD build of jsonc-parser cannot be bundled; its module build can.
	mainFields: ['module', 'main'],
	target: 'node20',
	// Bundled CommonJS libraries ask for `require`.
	banner: {js: 'import {createRequire as createRequireOfBundle} from \'node:module\';\nconst require = createRequireOfBundle(import.meta.url);'},
	logLevel: 'warning',
});
