/** Reading, checking and writing of release notes; used through {@code org.ibissaddle.note}. */
package org.ibissaddle.internal.note;
