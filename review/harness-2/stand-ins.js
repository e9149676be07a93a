// The project's own stand-ins, which review/build-2.sh builds.
import {createRequire} from 'node:module';

export const {
	PlatformServerStandIn, PlatformStoreStandIn, createConfiguration, formatResponseHead, respondWithBody, streamEvents,
} = createRequire(import.meta.url)('../../target/review-2/stand-ins.cjs');
