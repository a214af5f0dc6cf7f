package org.cuminshelf.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * A folder of YAML files that are merged in the order of their names. Maps are merged recursively, lists and scalars of
 * a later file replace those of an earlier one, and an explicit null removes a key. Hidden files are ignored.
 */
public final class ConfigFolder {

    private static final long MAX_FILE_BYTES = 1L << 20;

    private final Path folder;

    private ConfigFolder(Path folder) {
        this.folder = folder;
    }

    /**
     * Creates an instance without reading the folder.
     *
     * @param folder path of the folder
     * @return the instance
     */
    public static ConfigFolder at(Path folder) {
        return new ConfigFolder(folder);
    }

    /**
     * Reads and merges the files without validating their keys and values.
     *
     * @return the merged tree, or all problems that prevented files from being read
     */
    public Either<List<ConfigProblem>, MergedConfig> merge() {
        List<ConfigProblem> problems = new ArrayList<>();
        ObjectNode tree = ConfigMapper.json().createObjectNode();
        SortedMap<String, String> origins = new TreeMap<>();
        for (Path file : files(problems)) {
            readFile(file, problems).ifPresent(node -> mergeInto(tree, node, "", name(file), origins));
        }
        return problems.isEmpty() ? Either.right(new MergedConfig(tree, origins)) : Either.left(problems);
    }

    /**
     * Reads and merges the files, binds them to {@link FleetConfig} and validates it.
     *
     * @return the merged tree, or the problems that make it invalid
     */
    public Either<List<ConfigProblem>, MergedConfig> mergeAndValidate() {
        return merge().flatMap(merged -> merged.bind().map(config -> merged));
    }

    private List<Path> files(List<ConfigProblem> problems) {
        try (Stream<Path> entries = Files.list(folder)) {
            List<Path> files = entries.filter(Files::isRegularFile)
                    .filter(path -> !name(path).startsWith("."))
                    .sorted(java.util.Comparator.comparing(ConfigFolder::name))
                    .toList();
            files.stream()
                    .filter(path -> !isYaml(path))
                    .forEach(path -> problems.add(new ConfigProblem(
                            name(path), "", "", "only .yaml and .yml files belong here; rename or move it")));
            if (files.isEmpty()) {
                problems.add(new ConfigProblem(folder.toString(), "", "", "the folder is empty; add a .yaml file"));
            }
            return files.stream().filter(ConfigFolder::isYaml).toList();
        } catch (IOException e) {
            problems.add(new ConfigProblem(
                    folder.toString(), "", "", "the folder can't be read; check its name and rights"));
            return List.of();
        }
    }

    private static java.util.Optional<ObjectNode> readFile(Path file, List<ConfigProblem> problems) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                problems.add(new ConfigProblem(name(file), "", "", "larger than 1 MiB; split it"));
                return java.util.Optional.empty();
            }
            JsonNode node = ConfigMapper.yaml().readTree(Files.readAllBytes(file));
            if (node == null || node.isMissingNode() || node.isNull()) {
                return java.util.Optional.empty();
            }
            if (node instanceof ObjectNode object) {
                return java.util.Optional.of(object);
            }
            problems.add(new ConfigProblem(name(file), "", "", "the file must hold keys with values"));
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String position =
                    location == null ? "" : "line " + location.getLineNr() + ", column " + location.getColumnNr();
            problems.add(new ConfigProblem(
                    name(file), position, "", "not readable as YAML: " + firstLine(e.getOriginalMessage())));
        } catch (IOException e) {
            problems.add(new ConfigProblem(name(file), "", "", "can't be read: " + e.getMessage()));
        }
        return java.util.Optional.empty();
    }

    private static void mergeInto(
            ObjectNode target, ObjectNode source, String path, String file, SortedMap<String, String> origins) {
        for (Map.Entry<String, JsonNode> field : source.properties()) {
            String key = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
            JsonNode value = field.getValue();
            if (value.isNull()) {
                target.remove(field.getKey());
                removeOrigins(origins, key);
            } else if (value instanceof ObjectNode object) {
                if (!(target.get(field.getKey()) instanceof ObjectNode)) {
                    target.putObject(field.getKey());
                    removeOrigins(origins, key);
                }
                if (object.isEmpty()) {
                    origins.putIfAbsent(key, file);
                }
                mergeInto((ObjectNode) target.get(field.getKey()), object, key, file, origins);
            } else {
                target.set(field.getKey(), value);
                removeOrigins(origins, key);
                origins.put(key, file);
            }
        }
    }

    private static void removeOrigins(SortedMap<String, String> origins, String key) {
        origins.keySet().removeIf(other -> other.equals(key) || other.startsWith(key + "."));
    }

    private static boolean isYaml(Path path) {
        return name(path).endsWith(".yaml") || name(path).endsWith(".yml");
    }

    private static String name(Path path) {
        return path.getFileName().toString();
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse(text);
    }
}
