export {
	type Deployment, type DeploymentHost, deploymentSchema, findHost, readDeployment,
} from './deployment.js';
