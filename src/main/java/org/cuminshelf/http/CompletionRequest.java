package org.cuminshelf.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import net.openhft.hashing.LongHashFunction;
import org.cuminshelf.message.Generation;

/**
 * A completion request of the OpenAI API.
 *
 * @param generation the generation to run
 * @param stream     whether the caller requested the tokens as a stream of events
 */
record CompletionRequest(Generation generation, boolean stream) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int BLOCK_CHARACTERS = 64 * CHARACTERS_PER_TOKEN;
    private static final int MAX_BLOCKS = 128;
    private static final int DEFAULT_MAX_TOKENS = 256;

    /** Parses a request body; the left side describes an error in it. */
    static Either<String, CompletionRequest> parse(byte[] body, boolean chat) {
        JsonNode node;
        try {
            node = JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return Either.left("The body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return Either.left("The body can't be read: " + e.getMessage());
        }
        if (node == null || !node.isObject()) {
            return Either.left("The body must be a JSON object.");
        }
        if (!node.path("model").isTextual()) {
            return Either.left("'model' must name a model; GET /v1/models lists them.");
        }
        Either<String, String> prompt = chat ? chatPrompt(node) : textPrompt(node);
        JsonNode maxTokensNode =
                node.has("max_completion_tokens") ? node.get("max_completion_tokens") : node.path("max_tokens");
        if (!maxTokensNode.isMissingNode() && (!maxTokensNode.isInt() || maxTokensNode.intValue() < 1)) {
            return Either.left("'max_tokens' must be a whole number above 0.");
        }
        int maxTokens = maxTokensNode.isMissingNode() ? DEFAULT_MAX_TOKENS : maxTokensNode.intValue();
        return prompt.map(text -> new CompletionRequest(
                generation(node, text, maxTokens), node.path("stream").asBoolean(false)));
    }

    private static Generation generation(JsonNode node, String prompt, int maxTokens) {
        return Generation.newBuilder()
                .setModel(node.get("model").textValue())
                .setAdapter(node.path("adapter").asText(""))
                .setPrompt(prompt)
                .setPromptTokens(Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN))
                .setMaxTokens(maxTokens)
                .addAllPrefix(prefixHashes(prompt))
                .build();
    }

    /** Returns the hashes of the blocks of a prompt, each chained with the hash of the block before. */
    private static java.util.List<Long> prefixHashes(String prompt) {
        java.util.List<Long> blocks = new java.util.ArrayList<>();
        long hash = 0;
        for (int end = BLOCK_CHARACTERS;
                end <= prompt.length() && blocks.size() < MAX_BLOCKS;
                end += BLOCK_CHARACTERS) {
            hash = LongHashFunction.xx3(hash).hashChars(prompt, end - BLOCK_CHARACTERS, BLOCK_CHARACTERS);
            blocks.add(hash);
        }
        return blocks;
    }

    private static Either<String, String> textPrompt(JsonNode node) {
        return node.path("prompt").isTextual()
                ? Either.right(node.get("prompt").textValue())
                : Either.left("'prompt' must be a text.");
    }

    private static Either<String, String> chatPrompt(JsonNode node) {
        JsonNode messages = node.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            return Either.left("'messages' must be a list of messages, each with 'role' and 'content'.");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                return Either.left("Each message needs a text 'role' and a text 'content'.");
            }
            prompt.append(message.get("role").textValue())
                    .append(": ")
                    .append(message.get("content").textValue())
                    .append('\n');
        }
        return Either.right(prompt.toString());
    }
}
