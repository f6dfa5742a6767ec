package org.ibissaddle.daemon.settings;

/**
 * One fault of a settings file.
 *
 * @param file name of the file
 * @param section section of the file
 * @param key key in the section, empty when the section itself is at fault
 * @param problem what is wrong
 * @param allowed what is allowed
 */
public record SettingsFault(String file, String section, String key, String problem, String allowed) {
    @Override
    public String toString() {
        String place = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return file + ": " + place + ": " + problem + "; allowed: " + allowed;
    }
}
