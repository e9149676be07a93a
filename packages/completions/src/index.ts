export {type CompletionBody, extractPromptText, parseCompletionBody} from './completion-body.js';
export {type CompletionProtocolOptions, createCompletionProtocol} from './completion-protocol.js';
export {estimateTokenCount, splitPrompt} from './prompt-parts.js';
