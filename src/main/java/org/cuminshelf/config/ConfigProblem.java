package org.cuminshelf.config;

/**
 * A problem in a configuration, described so that an operator can fix it.
 *
 * @param file  file that contains it, or the folder if it concerns no single file
 * @param key   path of the key with dots between its parts, or the position of a syntax error; empty if it concerns
 *              neither
 * @param value value as written; empty if it concerns no value
 * @param cure  how to fix it
 */
public record ConfigProblem(String file, String key, String value, String cure) {

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file);
        if (!key.isEmpty()) {
            text.append(": ").append(key);
        }
        if (!value.isEmpty()) {
            text.append(" = ").append(value);
        }
        return text.append(": ").append(cure).toString();
    }
}
