export {type ConfigurationReading, readConfigurationEntries} from './configuration-entries.js';
export {type EtcdOptions, EtcdKeyValueService} from './etcd-key-value-service.js';
export {type HostList, type ListedHost, HttpHostList} from './host-list.js';
export {type WeightStore, HttpWeightStore} from './weight-store.js';
export {
	type KeyValueEntry, type KeyValueReading, type KeyValueService, type KeyValueWatch, type KeyValueWrite,
	type PlatformError, type SwapOutcome, keyPrefixes, largestValueBytes, ticketKey,
} from './key-value-service.js';
