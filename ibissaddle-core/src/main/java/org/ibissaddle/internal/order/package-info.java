/** Planning of orders; used through {@code org.ibissaddle.order}. */
package org.ibissaddle.internal.order;
