/** Model calls: streams that stay whole over cuts, whole JSON answers, and the engines' crashes. */
package org.ibissaddle.daemon.stream;
