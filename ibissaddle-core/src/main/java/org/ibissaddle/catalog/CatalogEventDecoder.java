package org.ibissaddle.catalog;

/** Decodes published items. Implemented by the platform adapter. */
@FunctionalInterface
public interface CatalogEventDecoder {
    /**
     * Decodes an item.
     *
     * @param item a published value or a removal
     * @return the decoded change; {@link CatalogEvent.Malformed} if the item cannot be decoded
     */
    CatalogEvent decodeItem(CatalogItem item);

    /**
     * Returns an item as it is passed on to other instances: what callers must keep secret is replaced.
     *
     * @param item a published value or a removal
     * @return an item with the same key, revision and meaning
     */
    default CatalogItem withoutSecrets(CatalogItem item) {
        return item;
    }
}
