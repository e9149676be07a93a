import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {
	copyFileSync, mkdirSync, readFileSync, readdirSync, rmSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

// `deploy/system.toml` builds to another directory.
const outputDirectory = process.argv[2] ?? 'dist';
const hostProgram = 'lacewingpoint-host';

const commonOptions = {
	bundle: true,
	platform: 'node',
	// The UMD build of jsonc-parser, its `main`, cannot be bundled; its ES module build can.
	mainFields: ['module', 'main'],
	target: 'node20',
	logLevel: 'warning',
};

/* eslint-disable require-unicode-regexp -- esbuild runs these expressions in Go, which has no flag v. */
/** Leaves out what hosts do not use of undici, such as fetch and HTTP/2, because each part costs time at the start. */
const undiciSubset = {
	name: 'undici-subset',
	setup(builder) {
		builder.onResolve({filter: /^undici$/}, () => ({path: 'undici', namespace: 'subset'}));
		builder.onLoad({filter: /.*/, namespace: 'subset'}, () => ({
			contents: `
				import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
				import request from 'undici/lib/api/api-request.js';
				// Becomes the dispatcher of the built-in fetch, which otherwise compiles an HTTP parser of its own.
				import 'undici/lib/global.js';
				export {default as Agent} from 'undici/lib/dispatcher/agent.js';
				export {default as Client} from 'undici/lib/dispatcher/client.js';
				Object.assign(Dispatcher.prototype, {request});
			`,
			resolveDir: process.cwd(),
		}));
		builder.onLoad({filter: /undici\/lib\/dispatcher\/client-h2\.js$/}, () => ({
			contents: 'module.exports = () => { throw new Error(\'this build does not support HTTP/2\'); };',
		}));
	},
};
/* eslint-enable require-unicode-regexp */

async function buildCommandLine() {
	await build({
		...commonOptions,
		entryPoints: {lacewingpointctl: 'packages/command-line/src/main.ts'},
		outdir: outputDirectory,
		outExtension: {'.js': '.mjs'},
		format: 'esm',
		// Bundled CommonJS libraries call `require`, which ES modules do not define.
		banner: {js: 'import {createRequire as createRequireOfBundle} from \'node:module\';\nconst require = createRequireOfBundle(import.meta.url);'},
	});
}

// The flags with which the deployment runs the host program.
function readDeployedFlags() {
	const command = /^run = "node (?<flags>.*?) ?\S+\/lacewingpoint-host\.mjs"/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	return command?.groups.flags.split(' ').filter(flag => flag !== '') ?? [];
}

// The host is a bundle in CommonJS format, for which V8 can use a code cache, and a launcher. Names with the digest of the bundle keep a launcher from
// using the files of another build.
async function buildHost() {
	const {outputFiles: [bundle]} = await build({
		...commonOptions,
		entryPoints: ['platform/src/program.ts'],
		write: false,
		format: 'cjs',
		charset: 'ascii',
		minifySyntax: true,
		minifyWhitespace: true,
		define: {'import.meta': 'importMetaOfBundle'},
		banner: {js: 'const importMetaOfBundle = {url: require(\'node:url\').pathToFileURL(__filename).href};'},
		plugins: [undiciSubset],
	});
	const digest = createHash('sha256').update(bundle.contents).digest('hex').slice(0, 16);
	for (const file of readdirSync(outputDirectory).filter(name => name.startsWith(`${hostProgram}-`))) {
		rmSync(path.join(outputDirectory, file));
	}

	writeFileSync(path.join(outputDirectory, `${hostProgram}-${digest}.cjs`), bundle.contents);
	copyFileSync('scripts/launcher.js', path.join(outputDirectory, 'launcher.mjs'));
	writeFileSync(path.join(outputDirectory, `${hostProgram}.mjs`), `import {launch} from './launcher.mjs';\n\nawait launch('${digest}');\n`);
	for (const flags of [[], readDeployedFlags()]) {
		try {
			execFileSync(process.execPath, [...flags, 'scripts/write-code-cache.js', outputDirectory, digest], {stdio: ['ignore', 'ignore', 'inherit']});
		} catch (error) {
			process.stderr.write(`hosts with the flags "${flags.join(' ')}" will start without a code cache: ${error.message}\n`);
		}
	}
}

mkdirSync(outputDirectory, {recursive: true});
await buildCommandLine();
await buildHost();
