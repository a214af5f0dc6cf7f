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

/** A folder merged into one tree, with the file behind each value. */
public final class MergedConfig {

    private static final int NEAR = 4;

    private final ObjectNode tree;
    private final SortedMap<String, String> origins;

    MergedConfig(ObjectNode tree, SortedMap<String, String> origins) {
        this.tree = tree;
        this.origins = origins;
    }

    /**
     * The canonical form: JSON with its keys in order.
     *
     * @return UTF-8 bytes
     */
    public byte[] canonicalJson() {
        try {
            Object ordered = ConfigMapper.json().treeToValue(tree, Object.class);
            return ConfigMapper.json().writeValueAsBytes(new java.util.TreeMap<>(asMap(ordered)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A tree that was read can be written", e);
        }
    }

    /**
     * The content hash of a canonical form.
     *
     * @param canonical the bytes
     * @return SHA-256 in hexadecimal
     */
    public static String hash(byte[] canonical) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(canonical));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java runtime has SHA-256", e);
        }
    }

    /**
     * The file behind each value.
     *
     * @return file by key; keys have dots between their parts
     */
    public SortedMap<String, String> origins() {
        return origins;
    }

    /**
     * Lists the values for people.
     *
     * @return lines of {@code key = value}, in key order
     */
    public List<String> lines() {
        return origins.keySet().stream().map(key -> key + " = " + at(key)).toList();
    }

    /**
     * Binds the tree to its types and checks the whole.
     *
     * @return the configuration, or everything wrong with it
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
     * Finds the file behind a key, or behind the nearest part of it that has one.
     *
     * @param origins file by key
     * @param key     the key
     * @return the file
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

    private JsonNode at(String key) {
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
            return new ConfigProblem(file, key, "", "unknown key; " + nearest(unknown));
        }
        if (e instanceof InvalidFormatException format) {
            return new ConfigProblem(file, key, String.valueOf(format.getValue()), cure(e.getOriginalMessage()));
        }
        return new ConfigProblem(file, key, at(key).toString(), cure(e.getOriginalMessage()));
    }

    private static String cure(String message) {
        int colon = message.lastIndexOf(": ");
        return colon < 0 ? message : message.substring(colon + 2);
    }

    private static String nearest(UnrecognizedPropertyException unknown) {
        LevenshteinDistance distance = new LevenshteinDistance(NEAR);
        String written = unknown.getPropertyName();
        return unknown.getKnownPropertyIds().stream()
                .map(String::valueOf)
                .filter(known -> distance.apply(written, known) >= 0)
                .min(Comparator.comparing(known -> distance.apply(written, known)))
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
