import {execFile} from 'node:child_process';
import {
	access, mkdir, readFile, readdir, rename, rm,
} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {build} from 'esbuild';
import {currentBuildDirectory} from './local-process.js';

const repository = fileURLToPath(new URL('../../..', import.meta.url));
const run = promisify(execFile);

/**
 * Builds the host program of an earlier revision from the repository's history, with the dependencies of the current one.
 *
 * @param commit - The commit.
 * @returns The directory of the program. Rejects if the history does not contain the commit.
 */
export async function buildRevision(commit: string): Promise<string> {
	const directory = join(currentBuildDirectory, 'revisions', commit);
	const program = join(directory, 'lacewingpoint-host.mjs');
	try {
		await access(program);
		return directory;
	} catch {
		// It has not been built yet.
	}

	const sources = join(directory, 'sources');
	await rm(directory, {recursive: true, force: true});
	await mkdir(sources, {recursive: true});
	const archive = join(directory, 'sources.tar');
	// The clone may belong to another user than the one that runs the tests.
	await run('git', ['-c', `safe.directory=${repository}`, 'archive', '--output', archive, commit, 'packages', 'platform'], {cwd: repository});
	await run('tar', ['-xf', archive, '-C', sources]);
	await build({
		entryPoints: {'lacewingpoint-host': join(sources, 'platform/src/main.ts')},
		outdir: join(directory, 'new'),
		outExtension: {'.js': '.mjs'},
		alias: await listPackages(sources),
		nodePaths: [join(repository, 'node_modules')],
		bundle: true,
		platform: 'node',
		format: 'esm',
		mainFields: ['module', 'main'],
		target: 'node20',
		banner: {js: 'import {createRequire as createRequireOfBundle} from \'node:module\';\nconst require = createRequireOfBundle(import.meta.url);'},
		logLevel: 'warning',
	});
	await rename(join(directory, 'new/lacewingpoint-host.mjs'), program);
	return directory;
}

// The entry points of the revision's own packages, by name. Without this, imports would resolve to the current packages.
async function listPackages(sources: string): Promise<Record<string, string>> {
	const folders = await readdir(join(sources, 'packages'));
	const packages = [join(sources, 'platform'), ...folders.map(folder => join(sources, 'packages', folder))];
	return Object.fromEntries(await Promise.all(packages.map(async path => {
		const {name, exports: entryPoint} = JSON.parse(await readFile(join(path, 'package.json'), 'utf8')) as {readonly name: string; readonly exports: string};
		return [name, join(path, entryPoint)] as const;
	})));
}
