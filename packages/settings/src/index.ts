export {
	type Deployment, type DeploymentHost, type HostSettings, deploymentSchema, findHost, readDeployment, readHostSettings,
} from './deployment.js';
