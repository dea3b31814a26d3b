console.error('not built yet');
