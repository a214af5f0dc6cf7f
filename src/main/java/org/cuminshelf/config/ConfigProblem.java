package org.cuminshelf.config;

/**
 * One thing wrong with a configuration, said so that an operator can mend it.
 *
 * @param file  the file, or the folder where no single file is at fault
 * @param key   the key with dots between its parts, or empty
 * @param value the value as written, or empty
 * @param cure  what to do
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
