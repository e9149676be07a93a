export {type CompletionBody, parseCompletionBody, extractPromptText} from './completion-body.js';
export {type CompletionProtocolOptions, createCompletionProtocol} from './completion-protocol.js';
export {estimateTokenCount, splitPrompt} from './prompt-parts.js';
