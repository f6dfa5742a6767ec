package org.ibissaddle.catalog;

/**
 * Published value of a key, or its removal. Stored by each instance and exchanged between instances.
 *
 * @param key the key
 * @param value the value as published; null if the key was removed
 * @param version version of the store with this change
 */
public record CatalogItem(String key, String value, StoreVersion version) {
    /**
     * Returns whether the key was removed.
     *
     * @return true if there is no value
     */
    public boolean isRemoved() {
        return value == null;
    }

    /**
     * Returns this item as that of another version of the store.
     *
     * @param next the version
     * @return an item with the same key and value
     */
    public CatalogItem at(StoreVersion next) {
        return new CatalogItem(key, value, next);
    }
}
