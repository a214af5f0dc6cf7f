package org.cuminshelf.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.cuminshelf.message.AnswerEnd;

/**
 * Encodes responses of the OpenAI API: chat or text completions, complete or as server-sent events.
 *
 * @param id      ID of the completion
 * @param model   name of the model
 * @param created creation time in seconds since 1970
 * @param chat    whether the caller requested a chat completion
 */
record CompletionJson(String id, String model, long created, boolean chat) {

    /** The event that ends a complete stream. */
    static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Encodes an event with a token or with the finish reason; the other one is empty. */
    byte[] tokenEvent(String token, String finishReason) {
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
        ObjectNode body = responseObject(chat ? "chat.completion.chunk" : "text_completion");
        body.putArray("choices").add(choice);
        return ("data: " + write(body) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes the event that reports a truncated stream. */
    static byte[] errorEvent(Problem problem) {
        String json = new String(problem.json(), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes a complete response. */
    byte[] completeResponse(String text, AnswerEnd end) {
        ObjectNode choice = JSON.createObjectNode().put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", end.getFinishReason());
        ObjectNode body = responseObject(chat ? "chat.completion" : "text_completion");
        body.putArray("choices").add(choice);
        body.putObject("usage")
                .put("prompt_tokens", end.getPromptTokens())
                .put("completion_tokens", end.getOutputTokens())
                .put("total_tokens", end.getPromptTokens() + end.getOutputTokens());
        return write(body).getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode responseObject(String object) {
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
            throw new IllegalStateException("The JSON object could not be encoded", e);
        }
    }
}
