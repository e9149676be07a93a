import {
	mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';

// Writes the code cache of the host program. It contains the functions that have been compiled until then, so that a host is started first, on
// the loopback interface and without a store. If that fails, the cache only contains what the modules execute when they are loaded.

const [outputDirectory, digest] = process.argv.slice(2);
const launcherUrl = pathToFileURL(path.resolve(outputDirectory, 'launcher.mjs'));
const {bundleUrl, cacheUrl, loadBundle} = await import(launcherUrl.href);

/** In milliseconds. */
const warmUpTime = 400;
const address = '127.93.41.7';
const settings = `
nodeName = "warm-up"
ip = "${address}"
zone = "a"
region = "r"
portRange = [47301, 47303]
[listen]
front = "${address}:47304"
ready = "${address}:47305"
directory = "${address}:47306"
[limits]
memoryMb = 100
[bounds]
[platform]
address = "${address}:47307"
`;

const directory = mkdtempSync(path.join(tmpdir(), 'lacewingpoint-build-'));
const settingsFile = path.join(directory, 'settings.toml');
writeFileSync(settingsFile, settings);
process.env.LACEWINGPOINT_NODE_FILE = settingsFile;
process.argv.length = 2;
const {script, exports} = loadBundle(bundleUrl(digest), cacheUrl(digest));
try {
	await exports.runHost();
	await new Promise(done => {
		setTimeout(done, warmUpTime);
	});
} catch (error) {
	process.stderr.write(`the host could not be started for its code cache: ${error.message}\n`);
}

writeFileSync(cacheUrl(digest), script.createCachedData());
rmSync(directory, {recursive: true});
process.exit(0);
