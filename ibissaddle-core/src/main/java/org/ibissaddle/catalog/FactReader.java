package org.ibissaddle.catalog;

/** Decodes published items. Implemented by the platform adapter. */
@FunctionalInterface
public interface FactReader {
    /**
     * Decodes an item.
     *
     * @param item a published value or a removal
     * @return the decoded change; {@link Fact.Unreadable} if the item cannot be decoded
     */
    Fact read(Item item);
}
