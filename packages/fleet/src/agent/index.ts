export {startFleetAgent, type AgentPorts} from './agent';
