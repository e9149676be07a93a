import {build} from 'esbuild';

const programs = {
	'lacewingpoint-host': 'platform/src/main.ts',
	lacewingpointctl: 'packages/command-line/src/main.ts',
};

await build({
	entryPoints: programs,
	// `deploy/system.toml` builds to another directory.
	outdir: process.argv[2] ?? 'dist',
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	format: 'esm',
	// The UMD build of jsonc-parser, its `main`, cannot be bundled; its ES module build can.
	mainFields: ['module', 'main'],
	target: 'node20',
	// Bundled CommonJS libraries call `require`, which ES modules do not define.
	banner: {js: 'import {createRequire as createRequireOfBundle} from \'node:module\';\nconst require = createRequireOfBundle(import.meta.url);'},
	logLevel: 'warning',
});
