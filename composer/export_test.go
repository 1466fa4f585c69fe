package composer

// ParseWhole is Parse without the reading of blocks one by one.
var ParseWhole = parseWhole
