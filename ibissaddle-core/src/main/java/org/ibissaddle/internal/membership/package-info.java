/** Implementation of {@code org.ibissaddle.membership}; not to be used directly. */
package org.ibissaddle.internal.membership;
