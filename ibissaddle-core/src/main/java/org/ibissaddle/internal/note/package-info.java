/** Internal parsing, validation and writing of release notes, used by {@code org.ibissaddle.note}. */
package org.ibissaddle.internal.note;
