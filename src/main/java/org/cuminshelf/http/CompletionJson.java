package org.cuminshelf.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.cuminshelf.message.AnswerEnd;

/**
 * Answers in the form of the OpenAI interface: chat or text completions, whole or as events.
 *
 * @param id      the id of the answer
 * @param model   the model
 * @param created seconds since 1970
 * @param chat    whether the caller asked for a chat completion
 */
record CompletionJson(String id, String model, long created, boolean chat) {

    /** The event that ends a whole stream. */
    static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private static final ObjectMapper JSON = new ObjectMapper();

    /** One event with a token, or with the reason of the end. */
    byte[] event(String token, String finishReason) {
        ObjectNode choice = JSON.createObjectNode().put("index", 0);
        if (chat) {
            ObjectNode delta = choice.putObject("delta");
            if (!token.isEmpty()) {
                delta.put("content", token);
            }
        } else {
            choice.put("text", token);
        }
        choice.put("finish_reason", finishReason.isEmpty() ? null : finishReason);
        ObjectNode body = envelope(chat ? "chat.completion.chunk" : "text_completion");
        body.putArray("choices").add(choice);
        return ("data: " + write(body) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** The event that tells of a stream cut short. */
    static byte[] error(Problem problem) {
        String json = new String(problem.json(), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** The whole answer. */
    byte[] whole(String text, AnswerEnd end) {
        ObjectNode choice = JSON.createObjectNode().put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", end.getFinishReason());
        ObjectNode body = envelope(chat ? "chat.completion" : "text_completion");
        body.putArray("choices").add(choice);
        body.putObject("usage")
                .put("prompt_tokens", end.getPromptTokens())
                .put("completion_tokens", end.getOutputTokens())
                .put("total_tokens", end.getPromptTokens() + end.getOutputTokens());
        return write(body).getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode envelope(String object) {
        return JSON.createObjectNode()
                .put("id", id)
                .put("object", object)
                .put("created", created)
                .put("model", model);
    }

    private static String write(ObjectNode node) {
        try {
            return JSON.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A plain object can be written", e);
        }
    }
}
