package org.ibissaddle.daemon.settings;

/**
 * An error in a settings file.
 *
 * @param file name of the file
 * @param section section of the file
 * @param key key in the section, empty when the error concerns the section itself
 * @param problem what is wrong
 * @param allowed description of the allowed values
 */
public record SettingsError(String file, String section, String key, String problem, String allowed) {
    @Override
    public String toString() {
        String location = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return file + ": " + location + ": " + problem + "; allowed: " + allowed;
    }
}
