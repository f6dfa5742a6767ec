package org.ibissaddle.catalog;

/**
 * Published value of a key, or its removal. Stored by each instance and exchanged between instances.
 *
 * @param key the key
 * @param value the value as published; null if the key was removed
 * @param revision revision of the change
 */
public record CatalogItem(String key, String value, long revision) {
    /**
     * Returns whether the key was removed.
     *
     * @return true if there is no value
     */
    public boolean isRemoved() {
        return value == null;
    }
}
