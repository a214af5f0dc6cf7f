package org.cuminshelf.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.stream.Collectors;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** The JSON tree into which a configuration folder is merged, with the file that set each value. */
public final class MergedConfig {

    private static final int MAX_SUGGESTION_DISTANCE = 4;

    private final ObjectNode tree;
    private final SortedMap<String, String> origins;

    MergedConfig(ObjectNode tree, SortedMap<String, String> origins) {
        this.tree = tree;
        this.origins = origins;
    }

    /**
     * Returns the canonical form: JSON with sorted keys, so that equal configurations have equal bytes.
     *
     * @return JSON in UTF-8
     */
    public byte[] canonicalJson() {
        try {
            Object ordered = ConfigMapper.json().treeToValue(tree, Object.class);
            return ConfigMapper.json().writeValueAsBytes(new java.util.TreeMap<>(asMap(ordered)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("serialising a parsed tree failed", e);
        }
    }

    /**
     * Returns the content hash of a configuration.
     *
     * @param canonical the configuration in its canonical form
     * @return SHA-256 in hexadecimal
     */
    public static String hash(byte[] canonical) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(canonical));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime has no SHA-256", e);
        }
    }

    /**
     * Returns the file that set each value.
     *
     * @return file name by key; keys have dots between their parts
     */
    public SortedMap<String, String> origins() {
        return origins;
    }

    /**
     * Formats the values for display.
     *
     * @return lines of {@code key = value}, in key order
     */
    public List<String> lines() {
        return origins.keySet().stream().map(key -> key + " = " + nodeAt(key)).toList();
    }

    /**
     * Binds the tree to {@link FleetConfig} and validates it.
     *
     * @return the configuration; or the first binding problem, or else all validation problems
     */
    public Either<List<ConfigProblem>, FleetConfig> bind() {
        try {
            FleetConfig config = ConfigMapper.json().treeToValue(tree, FleetConfig.class);
            List<ConfigProblem> problems = config.validate(origins);
            return problems.isEmpty() ? Either.right(config) : Either.left(problems);
        } catch (JsonMappingException e) {
            return Either.left(List.of(problem(e)));
        } catch (JsonProcessingException e) {
            return Either.left(List.of(new ConfigProblem("merged folder", "", "", e.getOriginalMessage())));
        }
    }

    /**
     * Returns the file that set a key. If none did, returns the file of one of its children, or else of its nearest
     * ancestor.
     *
     * @param origins file by key
     * @param key     the key
     * @return the file name, or {@code merged folder} if none is known
     */
    static String originOf(Map<String, String> origins, String key) {
        String exact = origins.get(key);
        if (exact != null) {
            return exact;
        }
        return origins.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(key + "."))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseGet(() -> key.contains(".")
                        ? originOf(origins, key.substring(0, key.lastIndexOf('.')))
                        : "merged folder");
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> asMap(Object value) {
        return (Map<String, Object>) value;
    }

    private JsonNode nodeAt(String key) {
        JsonNode node = tree;
        for (String part : key.split("\\.")) {
            node = node.path(part);
        }
        return node;
    }

    private ConfigProblem problem(JsonMappingException e) {
        String key = e.getPath().stream()
                .map(reference -> reference.getFieldName() == null ? "" : reference.getFieldName())
                .filter(part -> !part.isEmpty())
                .collect(Collectors.joining("."));
        String file = originOf(origins, key);
        if (e instanceof UnrecognizedPropertyException unknown) {
            return new ConfigProblem(file, key, "", "unknown key; " + suggestion(unknown));
        }
        if (e instanceof InvalidFormatException format) {
            return new ConfigProblem(file, key, String.valueOf(format.getValue()), lastClause(e.getOriginalMessage()));
        }
        return new ConfigProblem(file, key, nodeAt(key).toString(), lastClause(e.getOriginalMessage()));
    }

    private static String lastClause(String message) {
        int colon = message.lastIndexOf(": ");
        return colon < 0 ? message : message.substring(colon + 2);
    }

    private static String suggestion(UnrecognizedPropertyException unknown) {
        LevenshteinDistance distance = new LevenshteinDistance(MAX_SUGGESTION_DISTANCE);
        String unknownKey = unknown.getPropertyName();
        return unknown.getKnownPropertyIds().stream()
                .map(String::valueOf)
                .filter(known -> distance.apply(unknownKey, known) >= 0)
                .min(Comparator.comparing(known -> distance.apply(unknownKey, known)))
                .map(known -> "did you mean " + known + "?")
                .orElse("known here: "
                        + unknown.getKnownPropertyIds().stream()
                                .map(String::valueOf)
                                .sorted()
                                .collect(Collectors.joining(", ")));
    }

    @Override
    public String toString() {
        return new String(canonicalJson(), StandardCharsets.UTF_8);
    }
}
